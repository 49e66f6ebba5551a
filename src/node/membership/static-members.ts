import type {VmIdentity} from '../../common/core/types.js';
import {EntryDirectory} from '../../common/scheduler/entry-directory.js';
import type {EntryProcesses} from '../../common/scheduler/types.js';
import {EntryPointService} from '../../common/services/entry-point-service.js';
import type {EntryPointAnswer} from '../../common/services/entry-point-service.js';

/** Knows only this process. */
export class StaticDirectory extends EntryDirectory {
	override readonly entries: EntryProcesses;

	constructor(self: VmIdentity) {
		super();
		this.entries = {live: [self], dead: []};
	}
}

/** Names only this process. */
export class StaticEntryPoints extends EntryPointService {
	constructor(private readonly _address: string, private readonly _zone: string) {
		super();
	}

	override answer(): EntryPointAnswer {
		return {entryPoints: [{address: this._address, zone: this._zone}], validForMs: 2000};
	}
}
