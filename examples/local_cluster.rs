//! Stand-ins of the state service, the cloud and its workers on loopback, so that a
//! controller can be tried by hand: see README, "Try it".

use async_executor::LocalExecutor;
use pointhook::transport::http::listen;
use std::rc::Rc;
use testkit::network::{self, Habits, World};

const CONTROLLER: &str = "127.0.0.1:7480";
const CLOUD: &str = "127.0.0.1:7482";
const STATE: &str = "127.0.0.1:7483";

fn main() -> std::io::Result<()> {
    let ex = Rc::new(LocalExecutor::new());
    let addr = |a: &str| a.parse().map_err(std::io::Error::other);
    let w = Rc::new(World::new(Habits {
        controllers: vec![("mill-0".into(), addr(CONTROLLER)?)],
        report_ms: 1000,
        image_pull_ms: 1000,
        run_ms: 5000,
        lease_ms: 10_000,
        tell: true,
    }));
    let (s, c) = (listen(addr(STATE)?)?, listen(addr(CLOUD)?)?);
    println!("state service on {STATE}, cloud on {CLOUD}, workers report to {CONTROLLER}");
    async_io::block_on(ex.run(network::run(w, ex.clone(), s, c)));
    Ok(())
}
