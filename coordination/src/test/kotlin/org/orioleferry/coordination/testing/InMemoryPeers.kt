package org.orioleferry.coordination.testing

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableSharedFlow
import kotlinx.coroutines.launch
import org.orioleferry.coordination.peer.PeerAddress
import org.orioleferry.coordination.peer.PeerMessage
import org.orioleferry.coordination.peer.PeerNetwork
import org.orioleferry.coordination.peer.ReceivedMessage
import org.orioleferry.core.model.InstanceId

/** Delivery of one message: once after each of [delaysMs]; dropped when there is none. */
internal class Delivery(
    vararg val delaysMs: Long,
)

/** An in-memory network that delays, duplicates and drops messages as [deliveryOf] decides. */
internal class InMemoryPeers(
    private val scope: CoroutineScope,
    var deliveryOf: (from: InstanceId, to: InstanceId, message: PeerMessage) -> Delivery = { _, _, _ -> Delivery(1) },
) {
    private val nodes = mutableMapOf<InstanceId, Node>()
    var sentMessages = 0

    fun node(
        id: InstanceId,
        incarnation: Long = 1,
    ): PeerNetwork = Node(id, incarnation).also { nodes[id] = it }

    private inner class Node(
        val id: InstanceId,
        val incarnation: Long,
    ) : PeerNetwork {
        private var sequence = 0L
        override val messages = MutableSharedFlow<ReceivedMessage>(extraBufferCapacity = 1_000)

        override fun connectTo(peers: Map<InstanceId, PeerAddress>) = Unit

        override fun send(
            to: InstanceId,
            message: PeerMessage,
        ): Boolean {
            val target = nodes[to] ?: return false
            val received = ReceivedMessage(id, incarnation, ++sequence, message)
            sentMessages++
            deliveryOf(id, to, message).delaysMs.forEach { delayMs ->
                scope.launch {
                    delay(delayMs)
                    target.messages.emit(received)
                }
            }
            return true
        }
    }
}
