// Command standin-3 plays the script of the third review. It starts the programs of the deploy
// file as separate processes on loopback addresses, and acts as the users' operator, servers and
// clients towards them.
package main
