/*
 * Tests of [Ports].
 */
package org.vanillalink.soak.deployment

import kotlin.test.Test
import kotlin.test.assertEquals

class PortsTest {
    // Guards against two runs that are started at the same moment and listen on the same ports.
    @Test
    fun `runs side by side get different ports`() {
        val runs = List(RUNS) { Ports() }
        val ports = List(PORTS_PER_RUN) { runs.map { it.next().port } }.flatten()
        runs.forEach { it.close() }

        assertEquals(ports.size, ports.toSet().size)
    }

    @Test
    fun `a block consists of ports in a row`() = Ports().use { ports ->
        val first = ports.nextBlock(4)

        assertEquals(first + 4, ports.next().port)
    }

    private companion object {
        const val RUNS = 3
        const val PORTS_PER_RUN = 600
    }
}
