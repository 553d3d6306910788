// Command coltsfootctl is one of the processes of coltsfootlug.
package main

func main() {}
