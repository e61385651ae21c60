// The parts of undici that a box uses. The package's own index also loads fetch, web sockets and
// caches, which cost a third of a start's processor time.
import request from 'undici/lib/api/api-request.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';

// The package's index adds its calls to the dispatchers in the same way.
Dispatcher.prototype.request = request;

export { Client, Pool };
