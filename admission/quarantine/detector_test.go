package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Parts of the prompts in these tests.
const (
	first   = 1 // of all prompts
	subject = 2 // shared by some prompts
	bad     = 3 // servers crash on it

	crashingService = "llm"
)

// scene feeds a Detector with requests and crashes in simulated time.
type scene struct {
	*Detector
	now  time.Time
	next int // numbers requests and servers

	service string // that answers
}

func newScene() *scene {
	return &scene{Detector: NewDetector(), now: time.Unix(1000, 0), service: crashingService}
}

func (s *scene) pass(d time.Duration) { s.now = s.now.Add(d) }

// lost returns a request that is sent now, with a last part of its own.
func (s *scene) lost(parts ...uint64) Lost {
	s.next++
	return Lost{ID: fmt.Sprint("r", s.next), Digest: uint64(s.next), Parts: append(parts, uint64(1000+s.next)), Sent: s.now}
}

// crash lets a server crash 100 ms after it was sent the requests.
func (s *scene) crash(lost ...Lost) {
	s.next++
	s.pass(100 * time.Millisecond)
	s.crashed(fmt.Sprint("s", s.next), s.now, lost...)
	s.pass(time.Millisecond)
}

func (s *scene) crashed(server string, at time.Time, lost ...Lost) {
	s.Crashed(Crash{Server: server, Service: crashingService, At: at, Lost: lost}, s.now)
}

// answer answers a request with the parts that did not come before.
func (s *scene) answer(parts ...uint64) []Cause {
	s.next++
	return s.answerRequest(uint64(s.next), parts...)
}

func (s *scene) answerRequest(digest uint64, parts ...uint64) []Cause {
	s.pass(time.Millisecond)
	return s.Answered(contents(s.service, digest, parts...), s.now)
}

func contents(service string, digest uint64, parts ...uint64) Contents {
	return Contents{Service: service, Parts: parts, Digest: func() uint64 { return digest }}
}

func none(Cause) bool { return false }

// found returns the causes found, each quarantined at once, after the settle time.
func (s *scene) found() []Cause {
	s.pass(SettleTime)
	causes := []Cause{}
	for {
		findings, _ := s.Find(s.now, func(c Cause) bool { return slices.Contains(causes, c) })
		if len(findings) == 0 {
			return causes
		}
		for _, f := range findings {
			causes = append(causes, f.Cause)
		}
	}
}

// causes returns the causes of parts.
func causes(parts ...uint64) []Cause { return partCauses(parts) }

func TestPartOfSeveralCrashesIsFound(t *testing.T) {
	s := newScene()
	for i := range uint64(minCrashes) {
		s.crash(s.lost(first, bad), s.lost(first, 100+i))
		s.answer(first, 7)
	}
	assert.DeepEqual(t, s.found(), causes(bad))
}

// TestPartWithoutBegunAnswersIsBlamed loses two parts in each crash; only answers with one of
// them had begun.
func TestPartWithoutBegunAnswersIsBlamed(t *testing.T) {
	s := newScene()
	for range minCrashes {
		begun := s.lost(first, subject)
		begun.Begun = true
		s.crash(s.lost(first, bad), begun)
		s.answer(first, 7)
	}
	assert.DeepEqual(t, s.found(), causes(bad))
}

func TestPartsThatCrashesDoNotTellApartAreFound(t *testing.T) {
	s := newScene()
	for range minCrashes {
		s.crash(s.lost(first, bad), s.lost(first, subject))
		s.answer(first, 7)
	}
	assert.DeepEqual(t, s.found(), causes(subject, bad))
}

// TestServersThatEndTogetherBlameNobody loses requests with a common part at many servers at
// once, and their retries at none.
func TestServersThatEndTogetherBlameNobody(t *testing.T) {
	s := newScene()
	var lost []Lost
	for range 8 {
		lost = append(lost, s.lost(first, subject))
	}
	s.pass(time.Second)
	for i, l := range lost {
		s.crashed(fmt.Sprint("s", i), s.now.Add(time.Duration(i)*time.Millisecond), l)
	}
	s.pass(time.Second)
	s.answer(7, 8)
	assert.DeepEqual(t, s.found(), causes())
}

func TestAnsweredPartIsNotBlamed(t *testing.T) {
	s := newScene()
	for range 2 * minCrashes {
		s.crash(s.lost(first, subject))
		s.answer(first, subject)
	}
	assert.DeepEqual(t, s.found(), causes())
}

// TestCompanionOfCrashingPartIsNotBlamed loses a rarely used part beside the crashing one in
// several crashes, without an answer between them.
func TestCompanionOfCrashingPartIsNotBlamed(t *testing.T) {
	s := newScene()
	s.crash(s.lost(first, bad))
	for range 2 * minCrashes {
		s.crash(s.lost(first, bad), s.lost(first, subject))
		s.answer(first)
	}
	assert.DeepEqual(t, s.found(), causes(bad))
}

// TestSharedPartAnsweredBeforeIsNotBlamed stops all answers with the first part while servers
// crash on another one in the same prompts.
func TestSharedPartAnsweredBeforeIsNotBlamed(t *testing.T) {
	s := newScene()
	s.answer(first)
	for range minCrashes {
		s.crash(s.lost(first, bad))
		s.answer(7)
	}
	assert.DeepEqual(t, s.found(), causes(bad))
}

func TestTwoCrashingPartsAreFound(t *testing.T) {
	s := newScene()
	for range minCrashes {
		s.crash(s.lost(first, bad))
		s.crash(s.lost(first, subject))
		s.answer(first, 7)
	}
	found := s.found()
	assert.Equal(t, len(found), 2)
	assert.Equal(t, found[0].ID+found[1].ID, uint64(bad+subject))
}

// TestPartIsFoundWithoutOtherTraffic crashes servers while no other requests come.
func TestPartIsFoundWithoutOtherTraffic(t *testing.T) {
	s := newScene()
	s.answer(first, subject)
	for range minCrashes {
		s.crash(s.lost(first, bad))
	}
	assert.DeepEqual(t, s.found(), causes(bad))
}

// TestServersThatCrashFromTheStartBlameNobody crashes a server with each request, before any
// is answered.
func TestServersThatCrashFromTheStartBlameNobody(t *testing.T) {
	s := newScene()
	for range minCrashes {
		s.crash(s.lost(first, subject))
	}
	assert.DeepEqual(t, s.found(), causes())
}

// TestServersThatCrashOnEverythingBlameNobody crashes a server with each request.
func TestServersThatCrashOnEverythingBlameNobody(t *testing.T) {
	s := newScene()
	s.answer(first, subject)
	for range 3 * minCrashes {
		s.crash(s.lost(first, subject))
	}
	assert.DeepEqual(t, s.found(), causes())
	_, again := s.Find(s.now, none)
	assert.Assert(t, again.After(s.now))
}

// TestRepeatsOfOneRequestBlameNobody loses one request at one server after the other.
func TestRepeatsOfOneRequestBlameNobody(t *testing.T) {
	s := newScene()
	l := s.lost(first, bad)
	for range minCrashes {
		l.Sent = s.now
		s.crash(l)
		s.answer(first, 7)
	}
	assert.DeepEqual(t, s.found(), causes())
}

func TestReportsOfOneCrashCountOnce(t *testing.T) {
	s := newScene()
	for range minCrashes {
		s.crashed("s", s.now, s.lost(first, bad))
	}
	s.answer(first, 7)
	assert.Equal(t, s.Crashes(), 1)
	assert.DeepEqual(t, s.found(), causes())
}

// TestLateReportOfCrashCountsOnce receives the report of an entry that was frozen, which takes the
// time of its thaw for that of the crash.
func TestLateReportOfCrashCountsOnce(t *testing.T) {
	s := newScene()
	l := s.lost(first, bad)
	s.crashed("s", s.now, l)
	s.pass(5 * time.Second)
	s.crashed("s", s.now, s.lost(first, bad))
	assert.Equal(t, s.Crashes(), 1)
}

func TestOldCrashesAreForgotten(t *testing.T) {
	s := newScene()
	for range minCrashes {
		s.crash(s.lost(first, bad))
		s.answer(first, 7)
		s.pass(evidenceTTL / 2)
	}
	assert.DeepEqual(t, s.found(), causes())
}

func TestEvidenceIsBounded(t *testing.T) {
	s := newScene()
	for range 2 * maxCrashes {
		lost := make([]Lost, 2*maxLost)
		for i := range lost {
			lost[i] = s.lost(first, bad)
		}
		s.crash(lost...)
	}
	assert.Equal(t, len(s.evidence.crashes), maxCrashes)
	assert.Equal(t, len(s.evidence.crashes[0].lost), maxLost)
	assert.Assert(t, len(s.suspects) <= maxSuspects+2*2*maxLost+2)
}

// TestClearedPartsAreToldOnce checks which answers the other entries must learn.
func TestClearedPartsAreToldOnce(t *testing.T) {
	s := newScene()
	assert.Equal(t, len(s.answer(first, subject)), 0)
	s.crash(s.lost(first, subject))
	assert.DeepEqual(t, s.answer(first, 7), causes(first))
	assert.Equal(t, len(s.answer(first, 7)), 0)
}
