/*
 * The options that say which daemons to ask.
 */
package org.vanillalink.tool

import org.vanillalink.model.Endpoint
import picocli.CommandLine.ITypeConverter
import picocli.CommandLine.Option
import picocli.CommandLine.TypeConversionException

/** Reads `address:port`. */
class EndpointConverter : ITypeConverter<Endpoint> {
    override fun convert(value: String): Endpoint =
        Endpoint.parse(value) ?: throw TypeConversionException("'$value' is not address:port")
}

/** Which daemons' operators' ports to use, and with which secret. */
class DaemonOptions {
    @Option(
        names = ["--daemons"],
        description = ["Operators' ports, address:port separated by commas. VANILLALINK_DAEMONS."],
        split = ",",
        converter = [EndpointConverter::class],
        defaultValue = "\${env:VANILLALINK_DAEMONS:-127.0.0.1:8081}",
    )
    lateinit var daemons: List<Endpoint>

    @Option(
        names = ["--secret"],
        description = ["The daemons' secret. Prefer VANILLALINK_SECRET."],
        defaultValue = "\${env:VANILLALINK_SECRET:-}",
    )
    private var secretText: String? = null

    @Option(
        names = ["--only"],
        description = ["Ask only the daemons given, not those that they know of."],
    )
    var isDiscoveryDisabled: Boolean = false

    @Option(
        names = ["--output"],
        description = ["\${COMPLETION-CANDIDATES}, in either case. Default: \${DEFAULT-VALUE}."],
        defaultValue = "table",
    )
    var output: OutputFormat = OutputFormat.TABLE

    /** The secret, or null where none is set. */
    val secret: String? get() = secretText?.takeIf { it.isNotEmpty() }
}
