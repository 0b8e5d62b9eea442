// Command gen generates the Go code of the .proto files in a folder. It runs the plugins protoc-gen-go and protoc-gen-go-grpc in the versions
// that go.mod pins, and does not need protoc:
//
//	go run ./internal/proto/admin/gen internal/proto/admin
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: gen FOLDER")
		os.Exit(2)
	}
	if err := generate(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "gen:", err)
		os.Exit(1)
	}
}

// generate compiles the .proto files of a folder and writes the plugins' output into the same folder.
func generate(folder string) error {
	paths, err := filepath.Glob(filepath.Join(folder, "*.proto"))
	if err != nil {
		return err
	}
	var names []string
	for _, p := range paths {
		names = append(names, filepath.Base(p))
	}
	files, err := (&protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{folder}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}).Compile(context.Background(), names...)
	if err != nil {
		return err
	}
	var descriptors []*descriptorpb.FileDescriptorProto
	for _, f := range files {
		descriptors = append(descriptors, protoutil.ProtoFromFileDescriptor(f))
	}
	request, err := proto.Marshal(&pluginpb.CodeGeneratorRequest{FileToGenerate: names, ProtoFile: descriptors, Parameter: proto.String("paths=source_relative")})
	if err != nil {
		return err
	}
	for _, plugin := range []string{"protoc-gen-go", "protoc-gen-go-grpc"} {
		cmd := exec.Command("go", "tool", plugin)
		cmd.Stdin, cmd.Stderr = bytes.NewReader(request), os.Stderr
		out, err := cmd.Output()
		if err != nil {
			return fmt.Errorf("%s: %w", plugin, err)
		}
		var response pluginpb.CodeGeneratorResponse
		if err := proto.Unmarshal(out, &response); err != nil {
			return fmt.Errorf("%s: %w", plugin, err)
		}
		if response.GetError() != "" {
			return fmt.Errorf("%s: %s", plugin, response.GetError())
		}
		for _, f := range response.File {
			if err := os.WriteFile(filepath.Join(folder, f.GetName()), []byte(f.GetContent()), 0o644); err != nil {
				return err
			}
		}
	}
	return nil
}
