//! Runs the key-value store, the cloud and its workers on loopback, to try out a controller by
//! hand: see README, "Try it".

use async_executor::LocalExecutor;
use pointhook::transport::http::listen;
use std::rc::Rc;
use testkit::network::{self, ControllerEndpoint, LoopbackCluster, WorkerConfig};

const CONTROLLER_NAME: &str = "controller-0";
const CONTROLLER_ADDR: &str = "127.0.0.1:7480";
const CLOUD_ADDR: &str = "127.0.0.1:7482";
const KV_ADDR: &str = "127.0.0.1:7483";

fn main() -> std::io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let parse = |addr: &str| addr.parse().map_err(std::io::Error::other);
    let controller = ControllerEndpoint {
        name: CONTROLLER_NAME.into(),
        addr: parse(CONTROLLER_ADDR)?,
    };
    let cluster = Rc::new(LoopbackCluster::new(WorkerConfig {
        controllers: vec![controller],
        heartbeat_interval_ms: 1000,
        image_pull_ms: 1000,
        run_ms: 5000,
        lease_ms: 10_000,
        cancel_ms: 30_000,
        verbose: true,
    }));
    let kv_listener = listen(parse(KV_ADDR)?)?;
    let cloud_listener = listen(parse(CLOUD_ADDR)?)?;
    println!(
        "key-value store on {KV_ADDR}, cloud on {CLOUD_ADDR}, workers connect to {CONTROLLER_ADDR}"
    );
    let services = network::run(cluster, executor.clone(), kv_listener, cloud_listener);
    async_io::block_on(executor.run(services));
    Ok(())
}
