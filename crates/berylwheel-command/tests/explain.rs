//! Tests of the log summary for one request.

use berylwheel_command::explain;
use expect_test::expect;

const FIRST_LOG: &str = "\
[2026-08-24T16:08:10Z WARN  berylwheel_router::forward::link] link is full, callers are sent elsewhere bytes=2 limit=1
[2026-08-24T16:09:30Z INFO  berylwheel_router::process] started router=r1@7 listen=10.0.0.1:80
[2026-08-24T16:09:31Z INFO  berylwheel_router::control::apply] configuration in force version=3
[2026-08-24T16:09:40Z INFO  berylwheel_router::control::apply] configuration in force version=4
[2026-08-24T16:09:41Z WARN  berylwheel_store::breaker] store lost error=store not available failures=3
[2026-08-24T16:09:41Z INFO  berylwheel_router::forward::attempt] attempt failed: no connection request=a1 server=s1 outcome=TimedOut sent=0 ran=false
[2026-08-24T16:09:41Z INFO  berylwheel_router::forward::call] refused: no grant request=a11 code=1202 ran=not-run ms=4
log lines dropped count=3
[2026-08-24T16:09:41Z INFO  berylwheel_router::control::apply] server leaves or is gone server=s2
[2026-08-24T16:09:42Z INFO  berylwheel_router::control::apply] server leaves or is gone server=s1
[2026-08-24T16:09:42Z INFO  berylwheel_router::forward::call] refused: no connection request=a1 code=1321 ran=not-run ms=252
[2026-08-24T16:09:43Z INFO  berylwheel_store::breaker] store regained ms=1900
[2026-08-24T16:09:4";
const SECOND_LOG: &str = "\
 0.1 vm-2 [2026-08-24T16:09:41Z INFO  berylwheel_router::forward::relay] stream broke off: no event in 171ms request=a1 server=s3 events=12 sent=1
";

fn logs() -> Vec<(String, String)> {
    vec![("vm-1".to_owned(), FIRST_LOG.to_owned()), ("all".to_owned(), SECOND_LOG.to_owned())]
}

/// Guards against lines of other requests or routers, lines out of order, states from after the end
/// of the request or before a restart of the router, and failures on a truncated line.
#[test]
fn summary_covers_several_logs() {
    let text = explain("a1", &logs()).unwrap();
    expect![[r"
        request a1
          2026-08-24T16:09:41Z vm-1: attempt failed: no connection server=s1 outcome=TimedOut sent=0 ran=false
          2026-08-24T16:09:41Z vm-2: stream broke off: no event in 171ms server=s3 events=12 sent=1
          2026-08-24T16:09:42Z vm-1: refused: no connection code=1321 ran=not-run ms=252
        meaning
          1321 no backend server available: Try again later.
        state before the end of the request
          2026-08-24T16:09:30Z vm-1: started router=r1@7 listen=10.0.0.1:80
          2026-08-24T16:09:40Z vm-1: configuration in force version=4
          2026-08-24T16:09:41Z vm-1: store lost error=store not available failures=3
          2026-08-24T16:09:42Z vm-1: server leaves or is gone server=s1
    "]]
    .assert_eq(&text);
}

/// Guards against a summary for an id that occurs in no log, or only as the prefix of another id.
#[test]
fn unknown_request_id_has_no_summary() {
    assert_eq!(explain("a2", &logs()), None);
    assert_eq!(explain("a", &logs()), None);
}
