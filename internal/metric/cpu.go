package metric

import "syscall"

// cpuMilliseconds returns the processor time that the process has used, in user and kernel mode; zero if it is unknown.
func cpuMilliseconds() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0 // getrusage fails only for arguments that are not valid
	}
	const microsecondsPerMillisecond = 1000
	return (usage.Utime.Sec+usage.Stime.Sec)*1000 + (int64(usage.Utime.Usec)+int64(usage.Stime.Usec))/microsecondsPerMillisecond
}
