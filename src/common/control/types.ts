export type * from './messages.js';
export type * from './state.js';
export type * from './control.js';
