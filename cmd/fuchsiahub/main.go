// Command fuchsiahub is the command-line tool of operators.
package main

func main() {}
