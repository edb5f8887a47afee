package org.vanillalink.configuration

import org.vanillalink.model.ServiceName
import kotlin.test.Test
import kotlin.test.assertEquals

class ConfigurationValidatorTest {
    private val testSubject = ConfigurationValidator()

    private fun findErrors(
        section: ConfigurationSection,
        content: String,
    ): List<Pair<String, ConfigurationProblem>> = testSubject
        .decode(mapOf(section to content))
        .leftOrNull()
        .orEmpty()
        .map { it.path to it.problem }

    @Test
    fun `missing keys take the document's default values`() {
        val document = testSubject.decode(mapOf(ConfigurationSection.SERVICES to """{"m": {"kind": "MODEL"}}"""))

        val expected = ConfigurationDocument(services = mapOf(ServiceName("m") to ServiceSettings(ServiceKind.MODEL)))
        assertEquals(expected, document.getOrNull())
    }

    @Test
    fun `every error of a section is reported with its path`() {
        val content = """{"m": {"kind": "BIG", "membersPerGroup": "4", "priority": 101, "hue": 1}, "n": {}, "o": 3}"""

        val errors = findErrors(ConfigurationSection.SERVICES, content)

        val expected =
            setOf(
                "m.kind" to ConfigurationProblem.OUT_OF_RANGE,
                "m.membersPerGroup" to ConfigurationProblem.WRONG_TYPE,
                "m.priority" to ConfigurationProblem.OUT_OF_RANGE,
                "m.hue" to ConfigurationProblem.UNKNOWN_KEY,
                "n.kind" to ConfigurationProblem.MISSING_KEY,
                "o" to ConfigurationProblem.WRONG_TYPE,
            )
        assertEquals(expected, errors.toSet())
    }

    @Test
    fun `a workspace may reference only services of the document`() {
        val errors = findErrors(ConfigurationSection.WORKSPACES, """{"w": {"services": ["absent"]}}""")

        assertEquals(listOf("w.services" to ConfigurationProblem.UNKNOWN_REFERENCE), errors)
    }

    @Test
    fun `a duplicate key is reported with its line and column`() {
        val errors = findErrors(ConfigurationSection.LIMITS, "{\"queuedRequests\": 1,\n \"queuedRequests\": 2}")

        assertEquals(ConfigurationProblem.DUPLICATE_KEY, errors.single().second)
        assertEquals("line 2", errors.single().first.substringBefore(','))
    }

    @Test
    fun `trailing text, an array and truncated JSON are rejected`() {
        assertEquals(
            ConfigurationProblem.MALFORMED_JSON,
            findErrors(ConfigurationSection.LIMITS, "{} {}").single().second,
        )
        assertEquals(ConfigurationProblem.WRONG_TYPE, findErrors(ConfigurationSection.LIMITS, "[]").single().second)
        assertEquals(ConfigurationProblem.MALFORMED_JSON, findErrors(ConfigurationSection.LIMITS, "{").single().second)
    }

    @Test
    fun `an overflowing number and a fraction in place of an integer are rejected`() {
        val content = """{"queuedRequests": 99999999999999999999, "requestBodyBytes": 2048.5}"""

        val errors = findErrors(ConfigurationSection.LIMITS, content)

        val expected =
            setOf(
                "queuedRequests" to ConfigurationProblem.OUT_OF_RANGE,
                "requestBodyBytes" to ConfigurationProblem.WRONG_TYPE,
            )
        assertEquals(expected, errors.toSet())
    }
}
