/*
 * Entry point.
 */
package org.vanillalink.standins

/** Starts the program. */
fun main() {
    println("not built yet")
}
