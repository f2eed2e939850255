package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const badRequest = 1 << 40 // digest of a request on which servers crash

// attempt returns a client attempt of a request, which is sent now.
func (s *scene) attempt(digest uint64, parts ...uint64) Lost {
	l := s.lost(parts...)
	l.Digest = digest
	return l
}

// TestRepeatedRequestIsFound crashes a server with each attempt of one request, some of which one
// client attempt makes.
func TestRepeatedRequestIsFound(t *testing.T) {
	for name, perAttempt := range map[string]int{"new attempts": 1, "retries": 2} {
		t.Run(name, func(t *testing.T) {
			s := newScene()
			s.answer()
			var l Lost
			for i := range minCrashes {
				if i%perAttempt == 0 {
					l = s.attempt(badRequest)
				}
				l.Sent = s.now
				s.crash(l, s.attempt(uint64(500+i)))
			}
			assert.DeepEqual(t, s.found(), []Cause{Request(badRequest)})
		})
	}
}

// TestRepeatsAtTheSameMomentAreFound sends one request to several servers at once, which crash.
func TestRepeatsAtTheSameMomentAreFound(t *testing.T) {
	s := newScene()
	s.answer()
	for i := range minCrashes {
		s.crashed(fmt.Sprint("s", i), s.now.Add(100*time.Millisecond), s.attempt(badRequest))
	}
	assert.DeepEqual(t, s.found(), []Cause{Request(badRequest)})
}

// TestPopularRequestIsNotBlamed loses a request that many clients send beside the crashing one. It was
// answered before, or is between two crashes.
func TestPopularRequestIsNotBlamed(t *testing.T) {
	const popular = 7
	for name, between := range map[string]bool{"answered before": false, "answered between": true} {
		t.Run(name, func(t *testing.T) {
			s := newScene()
			s.answerRequest(popular)
			for range minCrashes {
				s.crash(s.attempt(badRequest), s.attempt(popular))
				if between {
					s.answerRequest(popular)
				}
			}
			assert.DeepEqual(t, s.found(), []Cause{Request(badRequest)})
			for i := range minCrashes { // servers end together for another reason
				s.crashed(fmt.Sprint("t", i), s.now, s.attempt(popular))
			}
			assert.DeepEqual(t, s.found()[1:], []Cause{})
		})
	}
}

// TestRequestSeenOnceIsNotBlamed loses one client attempt at one server after the other.
func TestRequestSeenOnceIsNotBlamed(t *testing.T) {
	s := newScene()
	s.answer()
	l := s.attempt(badRequest)
	for range 2 * minCrashes {
		l.Sent = s.now
		s.crash(l)
	}
	assert.DeepEqual(t, s.found(), []Cause{})
}

// TestPartsOfCrashingRequestAreNotBlamed loses other requests with a part of the crashing one, and
// once for another reason.
func TestPartsOfCrashingRequestAreNotBlamed(t *testing.T) {
	s := newScene()
	s.answer()
	for range minCrashes {
		s.crash(s.attempt(badRequest, first, subject), s.lost(first, subject))
	}
	s.crash(s.lost(first, subject))
	assert.DeepEqual(t, s.found(), []Cause{Request(badRequest)})
}

// TestCrashingPartOfRepeatedRequestIsFound crashes servers on a part whose first request comes again.
func TestCrashingPartOfRepeatedRequestIsFound(t *testing.T) {
	s := newScene()
	s.answer()
	for range minCrashes {
		s.crash(s.attempt(badRequest, first, bad))
	}
	assert.DeepEqual(t, s.found(), []Cause{Request(badRequest)})
	for range minUnexplained {
		s.crash(s.lost(first, bad))
		s.answer(first)
	}
	assert.DeepEqual(t, s.found(), causes(bad))
}

// TestRequestOfOlderEntryHasNoDigest adds a report of an entry that sends no digests.
func TestRequestOfOlderEntryHasNoDigest(t *testing.T) {
	s := newScene()
	s.answer()
	for range 2 * minCrashes {
		s.crash(s.attempt(0))
	}
	assert.DeepEqual(t, s.found(), []Cause{})
}

// TestServiceThatCrashesOnEverythingBlamesNobody loses a popular request in each crash of one service,
// while another one answers.
func TestServiceThatCrashesOnEverythingBlamesNobody(t *testing.T) {
	const popular = 7
	s := newScene()
	s.answerRequest(popular)
	s.service = "till"
	for range 2 * minCrashes {
		s.crash(s.attempt(popular))
		s.answer(first)
	}
	assert.DeepEqual(t, s.found(), []Cause{})
}
