package org.vanillalink.serving.control

import org.vanillalink.serving.catalog.ModelDefinition
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

internal class SpareModelSelectorTest {
    private val large = model("large", size = 4, share = 0.67)
    private val small = model("small", size = 2, share = 0.33)
    private val oneGroupEach = mapOf("large" to 1, "small" to 1)
    private val twoGroupsEach = mapOf("large" to 2, "small" to 2)

    @Test
    fun `the first spare gets the model whose groups serve the most traffic`() {
        assertEquals(large, selector(listOf(null, null)).nextModel(null))
    }

    @Test
    fun `the second spare gets the other model`() {
        assertEquals(small, selector(listOf("large", null)).nextModel(null))
    }

    @Test
    fun `a single spare changes to the model with the higher value`() {
        assertEquals(large, selector(listOf("small")).nextModel("small"))
        assertNull(selector(listOf("large")).nextModel("large"))
    }

    @Test
    fun `spares do not change while there is one of each model`() {
        val testSubject = selector(listOf("large", "small"))
        assertNull(testSubject.nextModel("large"))
        assertNull(testSubject.nextModel("small"))
    }

    @Test
    fun `remaining members that lack one member get it from a spare of another model`() {
        val testSubject =
            selector(listOf("large", "large", "large", "small"), groupsInFabricDomain = mapOf("small" to 1))
        assertEquals(large, testSubject.nextModel("small"))
    }

    @Test
    fun `remaining members keep their model while they wait`() {
        val testSubject = selector(listOf("large", "large", "large"), groupsInFabricDomain = emptyMap())
        assertNull(testSubject.nextModel("large"))
    }

    @Test
    fun `remaining members keep their model though others load it`() {
        val staged = List(6) { "large" }
        val testSubject =
            SpareModelSelector(listOf(large, small), staged, emptyMap(), twoGroupsEach, loading = staged.take(2))
        assertNull(testSubject.nextModel("large"))
    }

    @Test
    fun `a replacement counts for the next selection`() {
        val testSubject = selector(listOf("small", "small"))
        assertEquals(large, testSubject.nextModel("small"))
        testSubject.recordReplacement("small", "large")
        assertNull(testSubject.nextModel("small"))
    }

    private fun selector(
        staged: List<String?>,
        groupsInFabricDomain: Map<String, Int> = oneGroupEach,
    ) = SpareModelSelector(listOf(large, small), staged, groupsInFabricDomain, twoGroupsEach)

    private fun model(
        name: String,
        size: Int,
        share: Double,
    ) = ModelDefinition(name, size, share, timeFactor = 1.0, loadMilliseconds = 16_000, stagedLoadMilliseconds = 1_600)
}
