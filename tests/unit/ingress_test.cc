#include <doctest/doctest.h>

#include "tests/unit/ingress_session.h"

namespace boragepaddle::node {
namespace {

/// Replays the script, which contains the expected actions.
void CheckSession(const std::string& script) {
  CHECK(ReplayIngress(script) == script);
}

// Guards against running work for a sender that no longer waits.
TEST_CASE(
    "ingress: a call of a closed connection is not passed to the worker") {
  CheckSession(R"(node slots=1
0 link 1
0 call 1-1
> run 1-1
1 close 1
2 begin 1-1
> answer 1-1 not-run sender-gone level=4
)");
}

// Guards against running a queued call after its deadline.
TEST_CASE("ingress: expired work is dropped on tick and before it is started") {
  CheckSession(R"(node slots=1
0 call 1-1 deadline=50
> run 1-1
0 call 1-2 deadline=40
40 tick
> answer 1-2 not-run deadline level=4
51 begin 1-1
> answer 1-1 not-run deadline level=4
)");
}

// Guards against running a queued call that was reported as not run.
TEST_CASE("ingress: a cancelled queued call is removed") {
  CheckSession(R"(node slots=1
0 call 1-1 deadline=500
> run 1-1
0 call 1-2 deadline=500
1 cancel 1-2
> answer 1-2 not-run cancelled level=4
1 begin 1-1
> begun
9 end 1-1 answered
> answer 1-1 completed none level=4 status=200 body=
)");
}

// Guards against running old calls when a frozen node resumes.
TEST_CASE("ingress: a call from before a pause is not passed to the worker") {
  CheckSession(R"(node slots=1
0 link 1
0 call 1-1 deadline=60000
> run 1-1
2000 begin 1-1
> answer 1-1 not-run paused level=4
)");
}

// Guards against measuring the remaining time from the moment of reading.
TEST_CASE("ingress: time in transit reduces the remaining time") {
  CheckSession(R"(node slots=2
0 link 1 sent=100000
100 call 1-1 sent=100000 deadline=100
> answer 1-1 not-run deadline level=4
100 call 1-2 sent=100000 deadline=150
> run 1-2
)");
}

// Guards against treating the backlog of a connection as new after a pause,
// when Hello and calls were delayed equally.
TEST_CASE("ingress: calls on a connection opened after a pause are refused") {
  CheckSession(R"(node slots=1
0 tick
5000 link 1 sent=1000
5001 call 1-1 sent=1000 deadline=60000
> answer 1-1 not-run paused level=4
5010 tick
5300 tick
5301 call 1-2 sent=5301 deadline=60000
> run 1-2
)");
}

// Guards against a second execution when a call is resent on another
// connection.
TEST_CASE("ingress: a duplicate waits for the answer of the first call") {
  CheckSession(R"(node slots=2
0 ticket 1-1 T
> grant 1-1 completed none
1 call 1-2 ticket=T
> run 1-2
2 begin 1-2
> begun
3 call 2-1 ticket=T
4 close 1
9 end 1-2 answered body=done
> answer 2-1 completed none level=4 status=200 body=done
> answer 1-2 completed none level=4 status=200 body=done
10 call 3-1 ticket=T
> answer 3-1 completed none level=4 status=200 body=done
)");
}

// Guards against reporting one resend as not run while another one runs later.
TEST_CASE("ingress: a refused ticket stays refused") {
  CheckSession(R"(node slots=1
0 ticket 1-1 T
> grant 1-1 completed none
1 call 1-2 ticket=T deadline=400
> run 1-2
2 cancel 1-2
3 begin 1-2
> answer 1-2 not-run sender-gone level=4
4 call 2-1 ticket=T
> answer 2-1 not-run sender-gone level=4
)");
}

// Guards against losing a duplicate when the sender of the first attempt goes
// away.
TEST_CASE(
    "ingress: a queued call with a waiting duplicate survives a cancellation") {
  CheckSession(R"(node slots=1
0 ticket 1-1 T
> grant 1-1 completed none
1 call 1-2 deadline=400
> run 1-2
1 call 1-3 ticket=T deadline=400
2 call 2-1 ticket=T deadline=400
3 cancel 1-3
4 begin 1-2
> begun
5 end 1-2 answered
> answer 1-2 completed none level=4 status=200 body=
> run 1-3
6 begin 1-3
> begun
7 end 1-3 answered body=done
> answer 2-1 completed none level=4 status=200 body=done
> answer 1-3 completed none level=4 status=200 body=done
)");
}

// Guards against resends that repeat a crash on other VMs before they know of
// it.
TEST_CASE("ingress: the answer after a crash waits for the reports") {
  CheckSession(R"(node slots=2 peers=b,c
0 call 1-1 body=bad
> run 1-1
0 call 1-2 body=good
> run 1-2
1 begin 1-1
> begun
1 begin 1-2
> begun
2 end 1-1 broken
> report crash=1 crashes=1 runner=b handover=0 crashes=1 runner=b handover=0
> probe
2 end 1-2 broken
3 probe down
3 confirm 1 b
4 confirm 1 c
> answer 1-1 unknown worker-lost level=0
> answer 1-2 unknown worker-lost level=0
5 call 1-3 body=bad
> answer 1-3 not-run worker-lost level=0
60 tick
> probe
61 probe up
62 call 1-4 body=bad
> answer 1-4 not-run crash-suspect level=4
63 call 1-5 body=other
> run 1-5
)");
}

// Guards against answers that are held indefinitely for a dead peer.
TEST_CASE("ingress: held answers are released after the hold time") {
  CheckSession(R"(node slots=1 peers=b
0 call 1-1
> run 1-1
0 begin 1-1
> begun
1 end 1-1 broken
> report crash=1 crashes=1 runner=b handover=0
> probe
290 tick
301 tick
> answer 1-1 unknown worker-lost level=0
)");
}

// Guards against running two suspects concurrently, whose crash could not be
// attributed, and against a suspect that is never cleared.
TEST_CASE("ingress: suspects run one at a time and are cleared") {
  CheckSession(R"(node slots=4 peers=b
0 report body=p runner=a
0 report body=q runner=a id=98
1 call 1-1 body=p
> run 1-1
1 call 1-2 body=q
1 call 1-3 body=innocent
> run 1-3
2 begin 1-1
> begun
9 end 1-1 answered
> report crash=0 crashes=0 runner=a handover=0
> answer 1-1 completed none level=4 status=200 body=
> run 1-2
10 begin 1-2
> begun
11 end 1-2 broken
> report crash=1 crashes=2 runner=b handover=0
> probe
11 probe up
12 confirm 1 b
> answer 1-2 unknown worker-lost level=4
13 call 1-4 body=q
> answer 1-4 not-run quarantined level=4
13 call 1-5 body=p
> run 1-5
)");
}

// Guards against refusing harmless requests because the worker assigned to run
// them is down.
TEST_CASE("ingress: a node with a lost worker reassigns suspects at once") {
  CheckSession(R"(node slots=1 peers=b,c
0 call 1-1
> run 1-1
0 begin 1-1
> begun
1 end 1-1 not_sent
> probe
> answer 1-1 not-run worker-lost level=0
2 probe down
3 report body=p runner=a
> report crash=0 crashes=1 runner=b handover=1
)");
}

// Guards against running queued work after a crash report arrived.
TEST_CASE("ingress: a crash report also stops a queued call") {
  CheckSession(R"(node slots=1
0 call 1-1 body=bad
> run 1-1
1 report body=bad crashes=2
2 begin 1-1
> answer 1-1 not-run quarantined level=4
)");
}

// Guards against a completed outcome for cancelled work.
TEST_CASE("ingress: running bulk work is cancelled for a member's call") {
  CheckSession(R"(node slots=1 cancel=1
0 call 1-1 class=bulk idempotent=1
> run 1-1
0 begin 1-1
> begun
1 call 1-2 class=member
20 tick
21 tick
> cancel 1-1
22 end 1-1 answered status=503
> answer 1-1 unknown cancelled level=4
> run 1-2
)");
}

// Guards against a leaving node that withholds the outcome of what it ran.
TEST_CASE("ingress: a leaving node refuses first uses but answers duplicates") {
  CheckSession(R"(node slots=1
0 ticket 1-1 T
> grant 1-1 completed none
0 ticket 1-2 U
> grant 1-2 completed none
1 call 1-3 ticket=T
> run 1-3
2 begin 1-3
> begun
3 leave
4 call 2-1 ticket=T
5 call 2-2 ticket=U
> answer 2-2 not-run leaving level=0
6 end 1-3 answered body=done
> answer 2-1 completed none level=0 status=200 body=done
> answer 1-3 completed none level=0 status=200 body=done
7 ticket 1-4 V
> grant 1-4 not-run leaving
)");
}

}  // namespace
}  // namespace boragepaddle::node
