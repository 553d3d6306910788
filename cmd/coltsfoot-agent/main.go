// Command coltsfoot-agent is one of the processes of coltsfootlug.
package main

func main() {}
