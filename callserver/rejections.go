package callserver

import (
	"log/slog"
	"time"
)

// Limits on log lines about messages that were rejected. Further ones in the same interval are counted only.
const (
	rejectionLogInterval  = time.Second
	rejectionsPerInterval = 20
)

// rejectionCount counts the rejected messages of an interval.
type rejectionCount struct {
	intervalStart time.Duration
	logged        int
	suppressed    int
}

// logRejection logs a message of a caller that was rejected, unless many others were in the same interval: one client at full speed
// would have the process do little else.
func (s *Server) logRejection(text string, attrs ...slog.Attr) {
	count := &s.rejections
	if s.now-count.intervalStart >= rejectionLogInterval {
		if count.suppressed > 0 {
			s.log(slog.LevelInfo, "further messages of callers refused", slog.Int("messages", count.suppressed))
		}
		*count = rejectionCount{intervalStart: s.now}
	}
	if count.logged >= rejectionsPerInterval {
		count.suppressed++
		return
	}
	count.logged++
	s.log(slog.LevelInfo, text, attrs...)
}
