//! A loopback proxy that injects connection faults.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    runtime::Runtime,
    sync::watch,
    time,
};

/// Time between two checks whether a silent proxy goes on.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The fault that the proxy injects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// Delays data by this many milliseconds.
    Delay(u64),
    /// Drops data in both directions and keeps connections open.
    Blackhole,
    /// Forwards nothing, and goes on where it stopped when the fault ends.
    Silent,
    /// Drops only data from the server.
    DropAnswers,
    /// Resets new connections immediately.
    Refuse,
}

/// The receiving side of a transfer.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Side {
    Server,
    Client,
}

/// A proxy in front of one address.
#[derive(Clone)]
pub struct Proxy {
    pub addr: SocketAddr,
    fault: Arc<Mutex<Fault>>,
    resets: watch::Sender<u64>,
}

impl Proxy {
    pub fn start(runtime: &Runtime, target: SocketAddr) -> Self {
        let listener = runtime
            .block_on(TcpListener::bind("127.0.0.1:0"))
            .expect("a port is free");
        let proxy = Self {
            addr: listener.local_addr().expect("the listener is bound"),
            fault: Arc::default(),
            resets: watch::Sender::new(0),
        };
        let it = proxy.clone();
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(it.clone().forward_connection(stream, target));
            }
        });
        proxy
    }

    pub fn set(&self, fault: Fault) {
        *self.fault.lock().expect("lock is poisoned") = fault;
    }

    pub fn fault(&self) -> Fault {
        *self.fault.lock().expect("lock is poisoned")
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|it| *it += 1);
    }

    async fn forward_connection(self, mut client: TcpStream, target: SocketAddr) {
        if self.fault() == Fault::Refuse {
            let _ = client.set_zero_linger();
            return;
        }
        let Ok(mut server) = TcpStream::connect(target).await else {
            let _ = client.set_zero_linger();
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let _ = (client.set_zero_linger(), server.set_zero_linger());
        let mut resets = self.resets.subscribe();
        // Dropping an owned half that writes would send the end of the data before the reset.
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        let transfer = async {
            tokio::try_join!(
                self.copy_data(client_read, server_write, Side::Server),
                self.copy_data(server_read, client_write, Side::Client)
            )
        };
        tokio::select! {
            _ = transfer => {}
            _ = resets.changed() => {}
        }
    }

    /// Copies data to its end. An error, such as a reset, ends both directions with a reset.
    async fn copy_data(
        &self,
        mut read: ReadHalf<'_>,
        mut write: WriteHalf<'_>,
        to: Side,
    ) -> io::Result<()> {
        let mut buffer = vec![0; 8192];
        loop {
            let count = read.read(&mut buffer).await;
            match self.fault() {
                Fault::Delay(ms) => time::sleep(Duration::from_millis(ms)).await,
                Fault::Blackhole => std::future::pending().await,
                Fault::Silent => {
                    while self.fault() == Fault::Silent {
                        time::sleep(SILENCE_CHECK_INTERVAL).await;
                    }
                }
                Fault::DropAnswers if to == Side::Client => std::future::pending().await,
                Fault::None | Fault::DropAnswers | Fault::Refuse => {}
            }
            let count = count?;
            if count == 0 {
                let _ = write.shutdown().await;
                return Ok(());
            }
            write.write_all(&buffer[..count]).await?;
        }
    }
}
