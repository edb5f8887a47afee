/*
 * Entry point.
 */
package org.vanillalink.daemon

/** Starts the program. */
fun main() {
    println("not built yet")
}
