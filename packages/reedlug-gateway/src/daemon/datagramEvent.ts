/** Datagrams of peers as events. */
import type { EventBody } from '../types/event.js';
import type { PeerDatagram } from '../types/peer.js';

/** The event by which a box takes a datagram. */
export function eventOfDatagram(message: PeerDatagram): EventBody {
  switch (message.kind) {
    case 'news':
      return { type: 'peerMessage', message };
    case 'usage':
      return { type: 'peerUsage', message };
    case 'unitsAsked':
      return { type: 'unitsAsked', message };
    case 'unitsLent':
      return { type: 'unitsLent', message };
    case 'unitsReturned':
      return { type: 'unitsReturned', message };
    case 'crashSuspects':
      return { type: 'crashSuspects', message };
    case 'serverStatements':
      return { type: 'serverStatements', message };
  }
}
