package main

import "os"

// keepLogs returns the folder in which the logs of the machines are kept; empty if none.
func keepLogs() string { return os.Getenv("REVIEW_LOGS") }
