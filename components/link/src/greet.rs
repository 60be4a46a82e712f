//! Makes a connection and exchanges greetings.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use protocol::{
    CodecError, Direction, FrameReader, FrameWriter, Hello, Key, Nonce, Session, VERSION_MAX,
    VERSION_MIN, negotiate_version, read_callee_hello, read_caller_hello, write_callee_hello,
    write_caller_hello,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::connection::Greeted;
use crate::{LinkError, LinkSettings};

/// Connects to `to` and greets; `boot` is the number of this life of the caller.
pub(crate) async fn connect(
    to: SocketAddr,
    settings: &LinkSettings,
    boot: u64,
) -> Result<Greeted, LinkError> {
    let limit = Duration::from_millis(settings.connect_timeout_ms);
    let greeted = timeout(limit, connect_and_greet(to, settings, boot));
    greeted.await.unwrap_or(Err(LinkError::TimedOut))
}

/// Answers the greeting on a connection that was taken.
pub(crate) async fn accept(
    stream: TcpStream,
    settings: &LinkSettings,
    boot: u64,
) -> Result<Greeted, LinkError> {
    let limit = Duration::from_millis(settings.connect_timeout_ms);
    let greeted = timeout(limit, answer_greeting(stream, settings, boot));
    greeted.await.unwrap_or(Err(LinkError::TimedOut))
}

async fn connect_and_greet(
    to: SocketAddr,
    settings: &LinkSettings,
    boot: u64,
) -> Result<Greeted, LinkError> {
    let mut stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let hello = own_hello(settings, boot);
    let mut out = BytesMut::new();
    write_caller_hello(&hello, settings.keys.signing(), &mut out)?;
    send_hello(&mut stream, &out, settings).await?;
    let read = |buffer: &mut BytesMut| read_callee_hello(buffer, &settings.keys, &hello.nonce);
    let (peer, key, rest) = read_hello(&mut stream, settings, read).await?;
    negotiate_version(&peer)?;
    let own = (&hello.nonce, Direction::FromCaller);
    Ok(greeted(stream, settings, (peer, key, rest), own))
}

async fn answer_greeting(
    mut stream: TcpStream,
    settings: &LinkSettings,
    boot: u64,
) -> Result<Greeted, LinkError> {
    stream.set_nodelay(true)?;
    let read = |buffer: &mut BytesMut| read_caller_hello(buffer, &settings.keys);
    let (peer, key, rest) = read_hello(&mut stream, settings, read).await?;
    let hello = own_hello(settings, boot);
    let mut out = BytesMut::new();
    write_callee_hello(&hello, key, &peer.nonce, &mut out)?;
    // Sent before the versions are compared, so that the caller learns of a mismatch too.
    send_hello(&mut stream, &out, settings).await?;
    negotiate_version(&peer)?;
    let own = (&hello.nonce, Direction::FromCallee);
    Ok(greeted(stream, settings, (peer, key, rest), own))
}

fn own_hello(settings: &LinkSettings, boot: u64) -> Hello {
    Hello {
        version_min: VERSION_MIN,
        version_max: VERSION_MAX,
        node: settings.node,
        role: settings.role,
        failure_domain: settings.failure_domain.clone(),
        nonce: rand::random(),
        boot,
    }
}

async fn send_hello(
    stream: &mut TcpStream,
    out: &[u8],
    settings: &LinkSettings,
) -> Result<(), LinkError> {
    stream.write_all(out).await?;
    settings.counters.sent(false, out.len());
    Ok(())
}

async fn read_hello<'k>(
    stream: &mut TcpStream,
    settings: &'k LinkSettings,
    read: impl Fn(&mut BytesMut) -> Result<Option<(Hello, &'k Key)>, CodecError>,
) -> Result<(Hello, &'k Key, BytesMut), LinkError> {
    let mut buffer = BytesMut::new();
    loop {
        let before_bytes = buffer.len();
        if let Some((hello, key)) = read(&mut buffer)? {
            settings
                .counters
                .received(false, before_bytes - buffer.len());
            return Ok((hello, key, buffer));
        }
        if stream.read_buf(&mut buffer).await? == 0 {
            return Err(LinkError::Closed);
        }
    }
}

/// The connection after both greetings; both nonces go into the keys of its directions.
fn greeted(
    stream: TcpStream,
    settings: &LinkSettings,
    (peer, key, rest): (Hello, &Key, BytesMut),
    (own_nonce, own): (&Nonce, Direction),
) -> Greeted {
    let (caller_nonce, callee_nonce) = match own {
        Direction::FromCaller => (own_nonce, &peer.nonce),
        Direction::FromCallee => (&peer.nonce, own_nonce),
    };
    let session = Session {
        key,
        caller_nonce,
        callee_nonce,
        frame_bytes_max: settings.frame_bytes_max,
    };
    let reader = FrameReader::new(&session, own.reversed());
    let writer = FrameWriter::new(&session, own);
    Greeted {
        stream,
        peer,
        reader,
        writer,
        rest,
    }
}
