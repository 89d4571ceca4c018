package gateway

import (
	"sync"
	"time"

	"topazshed/internal/schema"
)

// lockedOutliers is the outlier detection with the lock under which it is used.
type lockedOutliers struct {
	lock sync.Mutex
	*Outliers
}

// Start notes that an attempt was sent to a back end.
func (l *Loads) Start(now time.Duration, id string) {
	l.outliers.lock.Lock()
	defer l.outliers.lock.Unlock()
	l.outliers.Start(now, id)
}

// Stop notes that the attempt which was sent at started has ended.
func (l *Loads) Stop(id string, started time.Duration) {
	l.outliers.lock.Lock()
	defer l.outliers.lock.Unlock()
	l.outliers.Stop(id, started)
}

// Judge takes the verdict on an attempt that took so long.
func (l *Loads) Judge(now time.Duration, service, id string, verdict Verdict, took time.Duration) {
	l.outliers.lock.Lock()
	defer l.outliers.lock.Unlock()
	l.outliers.Judge(now, service, id, verdict, took)
}

// IsOverdue tells that an attempt at a service which has taken so long takes much longer than is usual there.
func (l *Loads) IsOverdue(service string, took time.Duration) bool {
	l.outliers.lock.Lock()
	defer l.outliers.lock.Unlock()
	return l.outliers.IsOverdue(service, took)
}

// TakeHealthReports gives the back ends that failed requests, or that served although they are failing, since the last call.
func (l *Loads) TakeHealthReports(now time.Duration, isFailing func(id string) bool) []*schema.HealthReport {
	l.outliers.lock.Lock()
	defer l.outliers.lock.Unlock()
	return l.outliers.TakeHealthReports(now, isFailing)
}

// OutlierStatus is whether this node ejects a back end, and until when.
func (l *Loads) OutlierStatus(now time.Duration, service, id string) (OutlierStatus, time.Duration) {
	l.outliers.lock.Lock()
	defer l.outliers.lock.Unlock()
	return l.outliers.Status(now, service, id)
}

func (l *Loads) keepOutliers(isKnown func(id string) bool) {
	l.outliers.lock.Lock()
	defer l.outliers.lock.Unlock()
	l.outliers.Keep(isKnown)
}
