import type {EntryProcesses} from './types.js';

/** Provides the entry processes that membership knows. */
export abstract class EntryProcessDirectory {
	/** Current entry processes. The object stays the same until the membership changes, so that a change can be detected by identity. */
	abstract get entries(): EntryProcesses;
}
