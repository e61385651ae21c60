/* global Buffer */
/**
 * Links of a box of its own: on loopback all boxes have one address towards a server, so each box gets a
 * proxy of its own before each server, and a proxy before the store that names the box its proxies in
 * place of the servers' addresses. All else passes unchanged.
 */
import http from 'node:http';
import net from 'node:net';

const listen = (server) => new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));

/** Opens a link to a server. While it is cut, open connections are reset and new ones are refused. */
export async function openServerLink(address) {
  const [host, port] = address.split(':');
  const open = new Set();
  const link = {
    isCut: false,
    cut() {
      link.isCut = true;
      for (const socket of open) socket.resetAndDestroy();
    },
    heal() {
      link.isCut = false;
    },
    close() {
      for (const socket of open) socket.destroy();
      server.close();
    },
  };
  const server = net.createServer({ allowHalfOpen: true }, (client) => {
    client.on('error', () => undefined);
    if (link.isCut) return void client.resetAndDestroy();
    const upstream = net.connect({ host, port: Number(port), allowHalfOpen: true });
    for (const socket of [client, upstream]) {
      socket.setNoDelay(true);
      open.add(socket);
      socket.on('close', () => open.delete(socket));
    }
    // An end is passed on as an end, a reset as a reset.
    client.pipe(upstream);
    upstream.pipe(client);
    client.on('error', () => upstream.resetAndDestroy());
    upstream.on('error', () => client.resetAndDestroy());
    client.on('close', () => upstream.destroy());
    upstream.on('close', () => client.destroySoon());
  });
  await listen(server);
  link.address = `127.0.0.1:${server.address().port}`;
  return link;
}

/** Opens a link to the store on which the addresses of servers are those of `linkOf`. */
export async function openStoreLink(store, linkOf) {
  const rename = (row) => {
    if (row.table !== 'servers' || row.value === undefined) return row;
    const entry = JSON.parse(Buffer.from(row.value, 'base64').toString());
    const address = linkOf(entry.address) ?? entry.address;
    return { ...row, value: Buffer.from(JSON.stringify({ ...entry, address })).toString('base64') };
  };
  const server = http.createServer((request, response) => {
    const { host, port } = store.address;
    const { url: path, method, headers } = request;
    const upstream = http.request({ host, port, path, method, headers, agent: false }, (answer) => {
      const chunks = [];
      answer.on('data', (chunk) => chunks.push(chunk));
      answer.on('end', () => {
        const body = JSON.parse(Buffer.concat(chunks).toString());
        const kept = Object.entries(answer.headers).filter(
          ([name]) => name !== 'content-length' && name !== 'transfer-encoding',
        );
        response.writeHead(answer.statusCode, Object.fromEntries(kept));
        response.end(JSON.stringify({ ...body, rows: (body.rows ?? []).map(rename) }));
      });
    });
    upstream.on('error', () => response.destroy());
    response.on('close', () => upstream.destroy());
    request.pipe(upstream);
  });
  await listen(server);
  return {
    address: { host: '127.0.0.1', port: server.address().port },
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
