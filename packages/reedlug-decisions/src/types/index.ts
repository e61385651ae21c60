/** All types of the decisions package. */
export * from './effect.js';
export * from './event.js';
export * from './order.js';
export * from './peer.js';
export * from './plan.js';
export * from './request.js';
export * from './settings.js';
export * from './tableOp.js';
export * from './views.js';
