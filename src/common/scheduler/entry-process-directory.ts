import type {EntryProcesses} from './types.js';

/** Provides the entry processes that membership knows. */
export abstract class EntryProcessDirectory {
	/** Returns the same object until the membership changes, so that callers can detect a change by identity. */
	abstract get entries(): EntryProcesses;
}
