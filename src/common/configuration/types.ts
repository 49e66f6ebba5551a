export type * from './settings.js';
export type * from './shared.js';
