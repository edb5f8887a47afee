package org.vanillalink.model

import kotlin.test.Test
import kotlin.test.assertEquals

internal class KeyValueLineTest {
    @Test
    fun `formatted pairs are parsed back`() {
        val pairs =
            listOf(
                "event" to "order",
                "order" to "Stage(model=\"m 1\")",
                "detail" to "two\nlines \\ and",
                "empty" to "",
            )
        assertEquals(pairs.toMap(), KeyValueLine.parse(KeyValueLine.format(pairs)))
    }

    @Test
    fun `text that is not a key=value pair is ignored`() {
        assertEquals(mapOf("a" to "1", "b" to "x=y"), KeyValueLine.parse("noise a=1 more b=x=y"))
    }
}
