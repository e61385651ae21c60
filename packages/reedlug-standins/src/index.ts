/** Stand-ins for the systems around reedlug. */
export * from './http/engineServer.js';
export * from './http/jsonServer.js';
export * from './http/platformServer.js';
export * from './http/serviceServer.js';
export * from './models/answerText.js';
export * from './models/engineModel.js';
export * from './models/tableModel.js';
export * from './http/freePorts.js';
export * from './processorShare.js';
export * from './virtual/eventQueue.js';
export * from './virtual/random.js';
