export type * from './access.js';
export type * from './view.js';
