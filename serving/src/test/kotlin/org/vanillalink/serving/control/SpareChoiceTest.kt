package org.vanillalink.serving.control

import org.vanillalink.serving.catalog.ModelDefinition
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

internal class SpareChoiceTest {
    private val large = model("large", size = 4, share = 0.67)
    private val small = model("small", size = 2, share = 0.33)
    private val whole = mapOf("large" to 1, "small" to 1)
    private val wholeDomain = mapOf("large" to 2, "small" to 2)

    @Test
    fun `the first spare is for the model whose groups carry most`() {
        assertEquals(large, choice(listOf(null, null)).next(null))
    }

    @Test
    fun `the second spare is for the other model`() {
        assertEquals(small, choice(listOf("large", null)).next(null))
    }

    @Test
    fun `a lone spare changes to the model that would be missed more`() {
        assertEquals(large, choice(listOf("small")).next("small"))
        assertNull(choice(listOf("large")).next("large"))
    }

    @Test
    fun `one spare of each model stays as it is`() {
        val testSubject = choice(listOf("large", "small"))
        assertNull(testSubject.next("large"))
        assertNull(testSubject.next("small"))
    }

    @Test
    fun `survivors that lack one member get it from a spare of another model`() {
        val testSubject = choice(listOf("large", "large", "large", "small"), here = mapOf("small" to 1))
        assertEquals(large, testSubject.next("small"))
    }

    @Test
    fun `survivors keep their own model while they wait`() {
        val testSubject = choice(listOf("large", "large", "large"), here = emptyMap())
        assertNull(testSubject.next("large"))
    }

    @Test
    fun `a change is counted before the next target is asked`() {
        val testSubject = choice(listOf("small", "small"))
        assertEquals(large, testSubject.next("small"))
        testSubject.replaced("small", "large")
        assertNull(testSubject.next("small"))
    }

    private fun choice(
        staged: List<String?>,
        here: Map<String, Int> = whole,
    ) = SpareChoice(listOf(large, small), staged, here, wholeDomain)

    private fun model(
        name: String,
        size: Int,
        share: Double,
    ) = ModelDefinition(name, size, share, timeFactor = 1.0, loadMilliseconds = 16_000, stagedLoadMilliseconds = 1_600)
}
