package org.vanillalink.daemon.traffic

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import org.vanillalink.model.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class PromptPrefixesTest {
    private val gritworks = WorkspaceId("gritworks")

    @Test
    fun `prompts share the fingerprints of their common beginning`() {
        val common = "Depot rules. ".repeat(60)

        val first = PromptPrefixes.of(gritworks, messages(common + "first".repeat(60)))
        val second = PromptPrefixes.of(gritworks, messages(common + "second".repeat(60)))

        assertEquals(first.take(3), second.take(3))
        assertNotEquals(first.last(), second.last())
    }

    @Test
    fun `two workspaces share no fingerprint`() {
        val text = "Depot rules. ".repeat(60)

        val own = PromptPrefixes.of(gritworks, messages(text))
        val other = PromptPrefixes.of(WorkspaceId("vidal"), messages(text))

        assertTrue(own.intersect(other.toSet()).isEmpty())
    }

    private fun messages(content: String) = jacksonObjectMapper().valueToTree<JsonNode>(
        listOf(mapOf("role" to "user", "content" to content)),
    )
}
