// Package announce schedules the reports that a process sends to other processes.
//
// Regular reports go to each recipient in turn, spread evenly over an interval that grows with the number of
// recipients. Announcements, after a change or to a process that became known, go out as fast as a small share of the VM's
// link allows. So neither a large fleet nor a change makes a process send a burst that delays the packets of callers on
// its link.
//
//	s := announce.New(announce.Config{LinkBytesPerSecond: 2.5e6})
//	s.SetRecipients(announce.Entries, entries)
//	s.AnnounceAll()
//	for {
//		due, wait := s.Due(now())
//		send(due)
//		sleep(wait)
//	}
package announce
