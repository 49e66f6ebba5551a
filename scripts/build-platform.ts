/** Builds the process for the users' platform: target/bundle.cjs, an esbuild bundle, its bytecode, and target/jasminehead.cjs, which loads both. */
import {spawnSync} from 'node:child_process';
import {
	existsSync, mkdirSync, readFileSync, rmSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';
import {slimLibraries} from './slim-libraries.js';

const bytecodeFile = 'target/bundle.bytecode';

/** Returns the flags of Node.js in the deploy file. Bytecode can be used only by a process with the same flags. */
function readNodeFlags(): string[] {
	const run = /^run = "node (?<flags>.*) target\/jasminehead\.cjs"$/m.exec(readFileSync('deploy/system.toml', 'utf8'));
	if (!run) {
		throw new Error('deploy/system.toml: no run line of the form "node FLAGS target/jasminehead.cjs"');
	}

	return run.groups!.flags!.split(' ');
}

/** Stores the bytecode of the bundle by starting it without settings, so that it ends after it was loaded. */
function storeBytecode(): void {
	const environment = {...process.env, JASMINEHEAD_SETTINGS: '/dev/null'}; // eslint-disable-line @typescript-eslint/naming-convention -- name of a variable of the platform
	const {stderr} = spawnSync(process.execPath, [...readNodeFlags(), 'target/jasminehead.cjs', '--store-bytecode'], {env: environment, encoding: 'utf8'});
	if (!existsSync(bytecodeFile)) {
		throw new Error(`the bytecode could not be stored: ${stderr}`);
	}
}

mkdirSync('target', {recursive: true});
rmSync(bytecodeFile, {force: true});
const options = {
	bundle: true, platform: 'node', target: 'node20', format: 'cjs', minify: true, keepNames: true, logLevel: 'warning',
} as const;
await build({
	...options,
	entryPoints: ['platform/main.ts'],
	outfile: 'target/bundle.cjs',
	// The bundle cannot contain the native addon of cbor-x, so it takes the pure JavaScript build.
	alias: {'cbor-x': path.resolve('node_modules/cbor-x/index.js')},
	plugins: [slimLibraries],
});
await build({...options, entryPoints: ['scripts/cached-entry.ts'], outfile: 'target/jasminehead.cjs'});
storeBytecode();
