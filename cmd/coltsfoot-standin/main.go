// Command coltsfoot-standin is one of the processes of coltsfootlug.
package main

func main() {}
