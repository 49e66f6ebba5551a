import type {RetryWindowLimits} from '../../common/forwarding/retry-window.js';

/** Settings of a process that forwards by host and path, beside those that every process has. */
export type FleetSettings = {
	/** The platform's name of the VM, for logs. */
	readonly node: string;
	/** Addresses, IP and port, of the health check, of entry-point questions, and of metrics and the state dump. */
	readonly listen: {readonly ready: string; readonly directory: string; readonly metrics: string};
	/** Whether the whole system starts for the first time, with blank disks. */
	readonly isFirstStart: boolean;
	/** Where the platform lists servers, and how many calls a second it takes from all processes together. */
	readonly serverList?: {readonly address: string; readonly callsPerSecond: number};
	/** Time from SIGTERM until the process is killed, in milliseconds. */
	readonly stopWithinMs: number;
	/** Time for which orders of two processes to engines must lie apart, in milliseconds. */
	readonly orderTurnMs: number;
	/** Longest validity of an entry-point answer that callers respect, in milliseconds. */
	readonly entryAnswerLimitMs: number;
	readonly retries: RetryWindowLimits;
};
