import type {EntryProcesses} from './types.js';

/** What membership knows of the entry processes. */
export abstract class EntryDirectory {
	/** Returns the same object until something changes. */
	abstract get entries(): EntryProcesses;
}
