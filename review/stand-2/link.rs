//! A host's link to a replica: a proxy that can be cut.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Connections to 127.0.0.2 lead to the same port of 127.0.0.1.
#[derive(Clone)]
pub struct Link {
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    pub fn start(replica: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind(("127.0.0.2", replica.port()))?;
        listener.set_nonblocking(true)?;
        let link = Link { is_cut: Arc::default(), open: Arc::default() };
        let accepting = link.clone();
        thread::spawn(move || {
            while !accepting.is_cut.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => accepting.join(&stream, replica),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(link)
    }

    /// From now on new connections are refused; open ones are closed.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(20));
        for stream in self.open.lock().unwrap().drain(..) {
            // It may be closed already.
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }

    fn join(&self, near: &TcpStream, replica: SocketAddr) {
        let joined = TcpStream::connect(replica).and_then(|far| {
            near.set_nonblocking(false)?;
            near.set_nodelay(true)?;
            far.set_nodelay(true)?;
            let mut open = self.open.lock().unwrap();
            open.push(near.try_clone()?);
            open.push(far.try_clone()?);
            copy(near.try_clone()?, far.try_clone()?);
            copy(far, near.try_clone()?);
            Ok(())
        });
        if let Err(err) = joined {
            eprintln!("link: {err}");
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    thread::spawn(move || {
        let mut bytes = [0; 16 << 10];
        while let Ok(count @ 1..) = from.read(&mut bytes) {
            if to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        // It may be closed already.
        let _closed = to.shutdown(Shutdown::Write);
    });
}
