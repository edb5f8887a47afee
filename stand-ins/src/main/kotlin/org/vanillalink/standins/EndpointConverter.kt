/*
 * Reads endpoints from the command line.
 */
package org.vanillalink.standins

import org.vanillalink.model.Endpoint
import picocli.CommandLine.ITypeConverter
import picocli.CommandLine.TypeConversionException

/** Reads `address:port`. */
class EndpointConverter : ITypeConverter<Endpoint> {
    override fun convert(value: String): Endpoint =
        Endpoint.parse(value) ?: throw TypeConversionException("'$value' is not address:port")
}
