/** Spoils bytes that this process receives on its own connections, and datagrams that it sends to other boxes. */
import { Socket } from 'node:net';
import { Socket as DatagramSocket } from 'node:dgram';
import { createRandom, type Random } from 'reedlug-standins';

/** Largest number of bytes that are spoiled in one piece, and largest value of a byte. */
const MAX_SPOILED_BYTES = 4;
const MAX_BYTE = 255;

/** How often bytes are spoiled. */
export interface Spoiling {
  seed: number;
  /** Share of the received pieces, and of the datagrams, that are spoiled. */
  share: number;
}

/** Spoils bytes from now on; requests of callers, who connect to this process, are read unchanged. */
export function spoilBytes({ seed, share }: Spoiling): void {
  const random = createRandom(seed);
  // Sockets that node's HTTP server reads, as those of callers, don't push what they receive.
  const { push } = Socket.prototype;
  Socket.prototype.push = function pushSpoiled(this: Socket, chunk: unknown, ...rest): boolean {
    const received = Buffer.isBuffer(chunk) && random.chance(share) ? spoil(random, chunk) : chunk;
    return Reflect.apply(push, this, [received, ...rest]);
  };
  const { send } = DatagramSocket.prototype;
  DatagramSocket.prototype.send = function sendSpoiled(
    this: DatagramSocket,
    ...[datagram, ...rest]: unknown[]
  ): void {
    const sent =
      Buffer.isBuffer(datagram) && random.chance(share) ? spoil(random, datagram) : datagram;
    Reflect.apply(send as (...all: unknown[]) => void, this, [sent, ...rest]);
  };
}

function spoil(random: Random, bytes: Buffer): Buffer {
  const spoiled = Buffer.from(bytes);
  if (spoiled.length === 0) return spoiled;
  const count = random.whole(1, MAX_SPOILED_BYTES);
  for (let index = 0; index < count; index += 1) {
    spoiled[random.whole(0, spoiled.length - 1)] = random.whole(0, MAX_BYTE);
  }
  return spoiled;
}
