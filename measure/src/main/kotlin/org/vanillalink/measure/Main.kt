/*
 * Entry point.
 */
package org.vanillalink.measure

/** Starts the program. */
fun main() {
    println("not built yet")
}
