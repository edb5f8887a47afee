package org.vanillalink.model

import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import com.fasterxml.jackson.module.kotlin.readValue
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class FencingTest {
    @Test
    fun `a later controller's generation is greater than any generation of an earlier controller`() {
        val earlier = Generation(FencingNumber(1), 99)
        val later = Generation(FencingNumber(2), 1)

        assertTrue(earlier < later)
    }

    @Test
    fun `a generation is parsed from its string form`() {
        val testSubject = Generation(FencingNumber(7), 3)

        assertEquals(testSubject, Generation.parse(testSubject.toString()))
        assertNull(Generation.parse("7"))
    }

    @Test
    fun `a report is unchanged after a JSON round trip`() {
        val mapper = jacksonObjectMapper()
        val report =
            TargetReport(
                host = HostId("h1"),
                boot = BootId("b1"),
                sequence = 4,
                phase = TargetPhase.READY,
                assignment =
                    Assignment(ServiceName("s"), GroupId("g"), Generation(FencingNumber(2), 1), rank = 0, size = 4),
                runningAttempts = setOf(AttemptId("a")),
            )

        val copy = mapper.readValue<TargetReport>(mapper.writeValueAsString(report))

        assertEquals(report, copy)
    }
}
