//! Sends releases until they are acknowledged.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use kernel::name::Host;
use tokio::{task::AbortHandle, time::timeout};
use wire::call::{Release, write_release};

use crate::{
    link::{Lost, reach},
    service::Context,
};

/// Sends releases for as long as it is polled.
pub(crate) async fn send(context: Rc<Context>) {
    let busy: Rc<RefCell<BTreeMap<Host, AbortHandle>>> = Rc::default();
    loop {
        for host in context.shared.releases.hosts() {
            if busy.borrow().contains_key(&host) {
                continue;
            }
            let task = tokio::task::spawn_local(drain(
                Rc::clone(&context),
                host.clone(),
                Rc::clone(&busy),
            ));
            busy.borrow_mut().insert(host, task.abort_handle());
        }
        context.shared.releases.added.notified().await;
    }
}

/// Pause before the releases of a host are sent again; it doubles up to the last.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LAST_PAUSE: Duration = Duration::from_secs(1);

/// Sends the releases of one host until none is left or the host is dead.
async fn drain(context: Rc<Context>, host: Host, busy: Rc<RefCell<BTreeMap<Host, AbortHandle>>>) {
    let mut pause = FIRST_PAUSE;
    loop {
        let batch = context.shared.releases.batch(&host);
        if batch.is_empty() {
            break;
        }
        match deliver(&context, &host, &batch).await {
            Ok(()) => pause = FIRST_PAUSE,
            Err(Lost::Down | Lost::Unknown) => {
                let dropped = context.shared.releases.clear(&host);
                context.shared.counters.releases_dropped.add(dropped);
                break;
            }
            Err(lost) => {
                log::debug!(target: "peer", "Releases for host {host} have to wait: {lost}.");
                tokio::time::sleep(pause).await;
                pause = LAST_PAUSE.min(pause * 2);
            }
        }
    }
    busy.borrow_mut().remove(&host);
}

async fn deliver(context: &Rc<Context>, host: &Host, batch: &[Release]) -> Result<(), Lost> {
    let open = reach(context, host).await?;
    let calls = batch.iter().map(|release| {
        context.shared.counters.calls_out.add(1);
        let mut request = open.peer.release_request();
        write_release(release, request.get().init_release());
        request.send().promise
    });
    let calls = futures::future::try_join_all(calls);
    timeout(context.limits.acknowledge, open.answer(calls)).await??;
    context.shared.releases.acknowledge(host, batch);
    Ok(())
}
