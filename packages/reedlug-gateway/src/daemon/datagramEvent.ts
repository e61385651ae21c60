/** Converts datagrams of peers to events. */
import type { EventBody } from '../types/event.js';
import type { PeerDatagram } from '../types/peer.js';

/** Returns the event that delivers a datagram to the reducer. */
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
    case 'streamStarts':
      return { type: 'streamStarts', message };
    case 'streamStartAsked':
      return { type: 'streamStartAsked', message };
    case 'streamStartAnswered':
      return { type: 'streamStartAnswered', message };
    case 'versionsListed':
      return { type: 'versionsListed', message };
    case 'serverStatements':
      return { type: 'serverStatements', message };
  }
}
