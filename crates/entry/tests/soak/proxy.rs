//! A loopback proxy that harms the connections through it.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    runtime::Runtime,
    sync::watch,
    time,
};

/// What happens to bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Harm {
    #[default]
    None,
    /// They come so many ms later.
    Late(u64),
    /// They vanish, both ways, and connections stay open.
    Silent,
    /// Only what comes back vanishes.
    AnswersLost,
    /// New connections are reset at once.
    Refused,
}

/// One way through.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Way {
    There,
    Back,
}

/// A proxy before one address.
#[derive(Clone)]
pub struct Proxy {
    pub addr: SocketAddr,
    harm: Arc<Mutex<Harm>>,
    resets: watch::Sender<u64>,
}

impl Proxy {
    pub fn start(runtime: &Runtime, to: SocketAddr) -> Self {
        let listener = runtime
            .block_on(TcpListener::bind("127.0.0.1:0"))
            .expect("a port is free");
        let proxy = Self {
            addr: listener.local_addr().expect("it is bound"),
            harm: Arc::default(),
            resets: watch::Sender::new(0),
        };
        let it = proxy.clone();
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(it.clone().pass(stream, to));
            }
        });
        proxy
    }

    pub fn set(&self, harm: Harm) {
        *self.harm.lock().expect("no holder panics") = harm;
    }

    pub fn harm(&self) -> Harm {
        *self.harm.lock().expect("no holder panics")
    }

    /// Resets the connections that are open.
    pub fn reset(&self) {
        self.resets.send_modify(|it| *it += 1);
    }

    async fn pass(self, from: TcpStream, to: SocketAddr) {
        if self.harm() == Harm::Refused {
            let _ = from.set_zero_linger();
            return;
        }
        let Ok(there) = TcpStream::connect(to).await else {
            let _ = from.set_zero_linger();
            return;
        };
        let _ = (from.set_nodelay(true), there.set_nodelay(true));
        let _ = (from.set_zero_linger(), there.set_zero_linger());
        let mut resets = self.resets.subscribe();
        let (from_read, from_write) = from.into_split();
        let (there_read, there_write) = there.into_split();
        let both = async {
            tokio::join!(
                self.pump(from_read, there_write, Way::There),
                self.pump(there_read, from_write, Way::Back)
            )
        };
        tokio::select! {
            _ = both => {}
            _ = resets.changed() => {}
        }
    }

    async fn pump(&self, mut read: OwnedReadHalf, mut write: OwnedWriteHalf, way: Way) {
        let mut buffer = vec![0; 8192];
        loop {
            let count = read.read(&mut buffer).await.unwrap_or(0);
            match self.harm() {
                Harm::Late(ms) => time::sleep(Duration::from_millis(ms)).await,
                Harm::Silent => std::future::pending().await,
                Harm::AnswersLost if way == Way::Back => std::future::pending().await,
                Harm::None | Harm::AnswersLost | Harm::Refused => {}
            }
            if count == 0 {
                let _ = write.shutdown().await;
                return;
            }
            if write.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }
}
