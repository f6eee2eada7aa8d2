//! A TCP proxy that injects network faults between processes under test.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// Size of the copy buffer, which bounds how much is forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Faults that the proxy injects into existing and new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyFaults {
    /// Holds back all data to the target until the fault is cleared.
    pub stall_forward: bool,
    /// Holds back all data from the target until the fault is cleared.
    pub stall_backward: bool,
    /// Delay of each chunk in each direction.
    pub delay: Duration,
    /// Rate limit in each direction, in bytes per second; 0 for no limit.
    pub bytes_per_s: u64,
    /// Closes existing connections, and new ones as soon as they are accepted.
    pub reset: bool,
}

impl ProxyFaults {
    /// Holds back both directions while the connections stay open, as when a peer vanishes without
    /// closing them.
    pub const HALF_OPEN: Self = Self {
        stall_forward: true,
        stall_backward: true,
        delay: Duration::ZERO,
        bytes_per_s: 0,
        reset: false,
    };
}

/// A proxy in front of one address. Dropping it closes its connections, and no new ones are served.
pub struct FaultProxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    faults: watch::Sender<ProxyFaults>,
    transferred: Arc<AtomicU64>,
}

impl FaultProxy {
    /// Starts a proxy in front of `target`, without faults.
    ///
    /// # Errors
    /// If no loopback port is free.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (faults, receiver) = watch::channel(ProxyFaults::default());
        let transferred = Arc::new(AtomicU64::new(0));
        tokio::spawn(accept_connections(listener, target, receiver, Arc::clone(&transferred)));
        Ok(Self { address, faults, transferred })
    }

    /// Bytes transferred so far in both directions.
    pub fn transferred_bytes(&self) -> u64 {
        self.transferred.load(Ordering::Relaxed)
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: ProxyFaults) {
        self.faults.send_replace(faults);
    }
}

/// Accepts and proxies connections until the proxy is dropped. A connection ends when the proxy is
/// dropped or [`ProxyFaults::reset`] is set.
async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    faults: watch::Receiver<ProxyFaults>,
    counter: Arc<AtomicU64>,
) {
    loop {
        let faults = faults.clone();
        if faults.has_changed().is_err() {
            return;
        }
        let Ok((client, _)) = listener.accept().await else { continue };
        let counter = Arc::clone(&counter);
        tokio::spawn(async move {
            let mut resets = faults.clone();
            let _ = tokio::select! {
                result = proxy_connection(client, target, faults, &counter) => result,
                _ = resets.wait_for(|faults| faults.reset) => Ok(()),
            };
        });
    }
}

/// Connects to the target and copies data in both directions until one of them ends.
async fn proxy_connection(
    client: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<ProxyFaults>,
    counter: &AtomicU64,
) -> io::Result<()> {
    client.set_nodelay(true)?;
    let server = TcpStream::connect(target).await?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forward =
        copy(client_read, server_write, faults.clone(), counter, |faults| faults.stall_forward);
    let backward = copy(server_read, client_write, faults, counter, |faults| faults.stall_backward);
    tokio::select! {
        result = forward => result,
        result = backward => result,
    }
}

/// Copies one direction under the current faults, and adds the bytes to `counter`.
async fn copy<C>(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<ProxyFaults>,
    counter: &AtomicU64,
    is_stalled: C,
) -> io::Result<()>
where
    C: Fn(&ProxyFaults) -> bool,
{
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return to.shutdown().await;
        }
        let current = {
            let current = faults.wait_for(|faults| !is_stalled(faults)).await;
            current.map(|current| *current).map_err(|_| io::ErrorKind::ConnectionAborted)?
        };
        let throttle_ms =
            (count as u64 * 1_000).checked_div(current.bytes_per_s).unwrap_or_default();
        let delay_before_write = current.delay + Duration::from_millis(throttle_ms);
        if !delay_before_write.is_zero() {
            tokio::time::sleep(delay_before_write).await;
        }
        counter.fetch_add(count as u64, Ordering::Relaxed);
        to.write_all(&buffer[..count]).await?;
    }
}
