//! A controller that serves its public interface on a loopback socket, without a key-value store,
//! and clients that write raw bytes to it.

use super::cloud;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use pointhook::coordination::controller::Controller;
use pointhook::coordination::job_api::handle;
use pointhook::features::Features;
use pointhook::protocol::cloud::MachineTypeCatalog;
use pointhook::protocol::users::JobSpec;
use pointhook::settings::{OperatorSettings, PlatformSettings};
use pointhook::state::job::JobRecord;
use pointhook::transport::http::{listen, serve};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Number of connections that the served controller accepts.
const MAX_CONNECTIONS: usize = 1000;

/// A controller that has read the records and knows the machine types. Nothing listens at the
/// address of its key-value store.
pub fn loaded_controller(record_format_v2: bool) -> Rc<Controller> {
    let settings = include_str!("../../examples/local_cluster.toml").replace("7483", "1");
    let platform: PlatformSettings = toml::from_str(&settings).expect("settings");
    let executor = Rc::new(LocalExecutor::new());
    let controller = Rc::new(Controller::new(
        platform,
        OperatorSettings::default(),
        Features::default(),
        executor,
    ));
    let mut cluster = controller.cluster.borrow_mut();
    cluster.loaded = true;
    cluster.record_format_v2 = record_format_v2;
    cluster.set_machine_types(&MachineTypeCatalog {
        types: vec![cloud::machine_type()],
    });
    drop(cluster);
    controller
}

/// A controller that knows an accepted job whose user has cancelled it: it answers a repeated
/// submission without reading the records again.
pub fn controller_with_cancelled_job(spec: &JobSpec) -> Rc<Controller> {
    let controller = loaded_controller(true);
    let record = JobRecord::submitted(spec.clone(), 0);
    let mut cluster = controller.cluster.borrow_mut();
    cluster.put_job(&spec.id, 1, &record);
    cluster.learn_cancelled(&spec.id);
    drop(cluster);
    controller
}

/// Serves the controller's public interface on a free loopback port, as a task of its executor.
pub fn serve_on_loopback(controller: &Rc<Controller>) -> SocketAddr {
    let listener = listen(([127, 0, 0, 1], 0).into()).expect("a free port");
    let address = listener.get_ref().local_addr().expect("an address");
    let handling = controller.clone();
    let server = serve(
        controller.executor.clone(),
        listener,
        MAX_CONNECTIONS,
        move |request| handle(handling.clone(), request),
    );
    controller.executor.spawn(server).detach();
    address
}

/// A connection on which a test writes the bytes of requests itself.
pub struct RawClient {
    stream: Async<TcpStream>,
}

impl RawClient {
    /// Connects to a server.
    pub async fn connect(address: SocketAddr) -> RawClient {
        let stream = Async::<TcpStream>::connect(address).await;
        let stream = stream.expect("a connection");
        stream.get_ref().set_nodelay(true).expect("an option");
        RawClient { stream }
    }

    /// Writes bytes; an error is ignored, since the server may have closed the connection.
    pub async fn write(&self, bytes: &[u8]) {
        let _ = (&self.stream).write_all(bytes).await;
    }

    /// Closes the sending direction.
    pub fn finish_sending(&self) {
        let closed = self.stream.get_ref().shutdown(std::net::Shutdown::Write);
        closed.expect("a connected socket");
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        let linger = Some(Duration::ZERO);
        rustix::net::sockopt::set_socket_linger(self.stream.get_ref(), linger).expect("an option");
    }

    /// The status code of the next response; `None` if the server closes the connection without
    /// one.
    pub async fn read_status(&self) -> Option<u16> {
        let mut buffer = [0; 1024];
        let length = (&self.stream).read(&mut buffer).await.ok()?;
        let text = String::from_utf8_lossy(&buffer[..length]);
        text.split(' ').nth(1)?.parse().ok()
    }
}

/// The head of a POST request whose body has this length.
pub fn post_head(path: &str, content_length: usize) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nHost: here\r\nContent-Length: {content_length}\r\n\r\n").into()
}

/// The head of a POST request whose body is sent in chunks.
pub fn chunked_head(path: &str) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nHost: here\r\nTransfer-Encoding: chunked\r\n\r\n").into()
}

/// A body in chunks of at most `chunk_bytes`, with the chunk that ends it.
pub fn chunked(body: &[u8], chunk_bytes: usize) -> Vec<u8> {
    let mut encoded = Vec::new();
    for chunk in body.chunks(chunk_bytes) {
        encoded.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        encoded.extend_from_slice(chunk);
        encoded.extend_from_slice(b"\r\n");
    }
    encoded.extend_from_slice(b"0\r\n\r\n");
    encoded
}
