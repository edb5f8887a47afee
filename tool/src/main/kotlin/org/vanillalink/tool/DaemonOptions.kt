/*
 * The options that all commands share.
 */
package org.vanillalink.tool

import org.vanillalink.model.Endpoint
import picocli.CommandLine.ITypeConverter
import picocli.CommandLine.Option
import picocli.CommandLine.TypeConversionException

/** Converts an option value of the form `address:port`. */
class EndpointConverter : ITypeConverter<Endpoint> {
    override fun convert(value: String): Endpoint =
        Endpoint.parse(value) ?: throw TypeConversionException("expected address:port, got '$value'")
}

/** The operators' ports to query, the secret for them, and the output format. */
class DaemonOptions {
    @Option(
        names = ["--daemons"],
        description = ["Operators' ports as comma-separated address:port. Environment variable: VANILLALINK_DAEMONS."],
        split = ",",
        converter = [EndpointConverter::class],
        defaultValue = "\${env:VANILLALINK_DAEMONS:-127.0.0.1:8081}",
    )
    lateinit var daemons: List<Endpoint>

    @Option(
        names = ["--secret"],
        description = ["The daemons' secret. Prefer the environment variable VANILLALINK_SECRET."],
        defaultValue = "\${env:VANILLALINK_SECRET:-}",
    )
    private var secretText: String? = null

    @Option(
        names = ["--only"],
        description = ["Query only the daemons given by --daemons, not the peers that they list."],
    )
    var isDiscoveryDisabled: Boolean = false

    @Option(
        names = ["--output"],
        description = ["\${COMPLETION-CANDIDATES}, in either case. Default: \${DEFAULT-VALUE}."],
        defaultValue = "table",
    )
    var output: OutputFormat = OutputFormat.TABLE

    /** The secret, or null if it is unset or empty. */
    val secret: String? get() = secretText?.takeIf { it.isNotEmpty() }
}
