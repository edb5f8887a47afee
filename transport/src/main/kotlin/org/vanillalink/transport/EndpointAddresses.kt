/*
 * Checks of endpoints' addresses, which come from other processes and can have any length.
 */
package org.vanillalink.transport

import io.netty.util.NetUtil
import org.vanillalink.model.Endpoint

/** Whether the address is an IP address and not a name. Reads each character of it once at most. */
fun Endpoint.hasLiteralAddress(): Boolean = NetUtil.isValidIpV4Address(address) || NetUtil.isValidIpV6Address(address)
