import process from 'node:process';
import {Command} from 'commander';
import {registerCheck} from './check.js';
import {registerConfig} from './config.js';
import {registerDrain, registerOrders, registerState} from './fleet.js';
import {registerKeys} from './keys.js';
import {exitCode} from './exit-code.js';
import {registerMembers} from './members.js';
import {registerReplay} from './replay.js';
import {registerServe} from './serve.js';
import {version} from './version.js';

const program = new Command('jasminehead')
	.description('Router for separate prefill and decode pools and for plain application services')
	.version(version);
registerServe(program);
registerCheck(program);
registerConfig(program);
registerKeys(program);
registerDrain(program);
registerOrders(program);
registerMembers(program);
registerReplay(program);
registerState(program);

// The single executable is CommonJS, which has no top-level await.
program.parseAsync(process.argv).catch((err: unknown) => { // eslint-disable-line unicorn/prefer-top-level-await -- see the comment above
	console.error(`jasminehead: ${err instanceof Error ? err.message : String(err)}`);
	process.exitCode = exitCode.unreachable;
});
