/*
 * Entry point.
 */
package org.vanillalink.tool

/** Starts the program. */
fun main() {
    println("not built yet")
}
